package org.turmericspan.node;

/**
 * Passes the logging settings to Logback as system properties. It must run before the first logger is created, since
 * Logback reads its configuration only then.
 */
final class LogSettings {
    private static final String FORMAT_PROPERTY = "turmericspan.log.format";
    private static final String LEVEL_PROPERTY = "turmericspan.log.level";

    private LogSettings() {}

    static void apply(NodeSettings settings) {
        System.setProperty(FORMAT_PROPERTY, settings.logFormat());
        System.setProperty(LEVEL_PROPERTY, settings.logLevel());
    }
}
