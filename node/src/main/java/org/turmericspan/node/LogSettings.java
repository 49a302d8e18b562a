package org.turmericspan.node;

/** Hands the logging settings to the logging library, before its first use. */
final class LogSettings {
    private static final String FORMAT_PROPERTY = "turmericspan.log.format";
    private static final String LEVEL_PROPERTY = "turmericspan.log.level";

    private LogSettings() {}

    static void apply(NodeSettings settings) {
        System.setProperty(FORMAT_PROPERTY, settings.logFormat());
        System.setProperty(LEVEL_PROPERTY, settings.logLevel());
    }
}
