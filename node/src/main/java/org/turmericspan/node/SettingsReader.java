package org.turmericspan.node;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads and validates settings from the command line and the environment. A flag overrides its variable. */
final class SettingsReader {
    private static final List<Setting> LISTEN_ADDRESSES =
            List.of(Setting.CALLER_ADDRESS, Setting.OPERATOR_ADDRESS, Setting.PEER_ADDRESS);

    private final Map<String, String> environment;

    SettingsReader(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * Reads and validates all settings.
     *
     * @param commandLine the parsed command line
     * @return validated settings
     * @throws InvalidSettingsException if any setting is invalid; lists every error
     */
    NodeSettings read(CommandLine commandLine) {
        List<SettingError> errors = new ArrayList<>();
        Map<Setting, Object> values = new EnumMap<>(Setting.class);
        for (Setting setting : Setting.values()) {
            readSetting(setting, commandLine, values, errors);
        }
        requireDistinctAddresses(values, errors);
        commandLine.unknown().forEach(argument -> errors.add(SettingError.unknownArgument(argument)));
        if (!errors.isEmpty()) {
            throw new InvalidSettingsException(errors);
        }
        return NodeSettings.of(new SettingValues(values));
    }

    private void readSetting(
            Setting setting, CommandLine commandLine, Map<Setting, Object> values, List<SettingError> errors) {
        String valueText = valueText(setting, commandLine);
        if (valueText.isEmpty()) {
            errors.add(SettingError.missing(setting));
            return;
        }
        try {
            values.put(setting, setting.type().parse().apply(valueText));
        } catch (IllegalArgumentException e) {
            errors.add(SettingError.notAllowed(setting, valueText));
        }
    }

    private String valueText(Setting setting, CommandLine commandLine) {
        String flag = commandLine.flags().get(setting);
        return flag != null ? flag : environment.getOrDefault(setting.environmentVariable(), setting.defaultValue());
    }

    private static void requireDistinctAddresses(Map<Setting, Object> values, List<SettingError> errors) {
        Map<Object, Setting> settingsByAddress = new HashMap<>();
        for (Setting setting : LISTEN_ADDRESSES) {
            Object address = values.get(setting);
            Setting first = address == null ? null : settingsByAddress.putIfAbsent(address, setting);
            if (first != null) {
                errors.add(SettingError.sameAddress(first, setting));
            }
        }
    }
}
