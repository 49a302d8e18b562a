package org.turmericspan.node;

import org.turmericspan.errors.ResultCode;

/**
 * One error in the settings.
 *
 * @param name flag and environment variable, or the invalid argument
 * @param value description of the value, which hides secrets
 * @param allowed which values are allowed
 */
record SettingError(String name, String value, String allowed) {
    private static final String HIDDEN = "hidden";

    static SettingError notAllowed(Setting setting, String text) {
        String shown = setting.type().secret() ? HIDDEN : "'" + text + "'";
        return new SettingError(title(setting), shown, "takes " + setting.type().allowed());
    }

    static SettingError missing(Setting setting) {
        return new SettingError(
                title(setting), "missing", "takes " + setting.type().allowed());
    }

    static SettingError unknownArgument(String argument) {
        int end = argument.indexOf('=');
        return new SettingError(end < 0 ? argument : argument.substring(0, end), "not a setting", "see --help");
    }

    static SettingError sameAddress(Setting first, Setting second) {
        return new SettingError(title(second), "the same as " + first.flag(), "takes an address of its own");
    }

    private static String title(Setting setting) {
        return setting.flag() + " (" + setting.environmentVariable() + ")";
    }

    @Override
    public String toString() {
        return ResultCode.INVALID_SETTING.number() + " " + name + " is " + value + ": " + allowed;
    }
}
