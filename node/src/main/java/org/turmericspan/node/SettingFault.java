package org.turmericspan.node;

import org.turmericspan.errors.ResultCode;

/**
 * One fault in the settings.
 *
 * @param name flag and variable, or the argument at fault
 * @param value the value as it may be shown
 * @param allowed what is allowed
 */
record SettingFault(String name, String value, String allowed) {
    private static final String HIDDEN = "hidden";

    static SettingFault notAllowed(Setting setting, String text) {
        String shown = setting.type().secret() ? HIDDEN : "'" + text + "'";
        return new SettingFault(title(setting), shown, "takes " + setting.type().allowed());
    }

    static SettingFault missing(Setting setting) {
        return new SettingFault(
                title(setting), "missing", "takes " + setting.type().allowed());
    }

    static SettingFault unknownArgument(String argument) {
        int end = argument.indexOf('=');
        return new SettingFault(end < 0 ? argument : argument.substring(0, end), "not a setting", "see --help");
    }

    static SettingFault sameAddress(Setting first, Setting second) {
        return new SettingFault(title(second), "the same as " + first.flag(), "takes an address of its own");
    }

    private static String title(Setting setting) {
        return setting.flag() + " (" + setting.environmentVariable() + ")";
    }

    @Override
    public String toString() {
        return ResultCode.INVALID_SETTING.number() + " " + name + " is " + value + ": " + allowed;
    }
}
