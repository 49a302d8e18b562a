package org.turmericspan.node;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads and checks settings from the command line and the environment. A flag goes before its variable. */
final class SettingsReader {
    private static final List<Setting> LISTENING =
            List.of(Setting.CALLER_ADDRESS, Setting.OPERATOR_ADDRESS, Setting.PEER_ADDRESS);

    private final Map<String, String> environment;

    SettingsReader(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * Reads and checks all settings.
     *
     * @param commandLine the parsed command line
     * @return checked settings
     * @throws InvalidSettingsException with every fault found
     */
    NodeSettings read(CommandLine commandLine) {
        List<SettingFault> faults = new ArrayList<>();
        Map<Setting, Object> values = new EnumMap<>(Setting.class);
        for (Setting setting : Setting.values()) {
            readOne(setting, commandLine, values, faults);
        }
        requireDistinctAddresses(values, faults);
        commandLine.unknown().forEach(argument -> faults.add(SettingFault.unknownArgument(argument)));
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(faults);
        }
        return NodeSettings.of(new SettingValues(values));
    }

    private void readOne(
            Setting setting, CommandLine commandLine, Map<Setting, Object> values, List<SettingFault> faults) {
        String text = text(setting, commandLine);
        if (text.isEmpty()) {
            faults.add(SettingFault.missing(setting));
            return;
        }
        try {
            values.put(setting, setting.type().parse().apply(text));
        } catch (IllegalArgumentException e) {
            faults.add(SettingFault.notAllowed(setting, text));
        }
    }

    private String text(Setting setting, CommandLine commandLine) {
        String flag = commandLine.flags().get(setting);
        return flag != null ? flag : environment.getOrDefault(setting.environmentVariable(), setting.defaultValue());
    }

    private static void requireDistinctAddresses(Map<Setting, Object> values, List<SettingFault> faults) {
        Map<Object, Setting> users = new HashMap<>();
        for (Setting setting : LISTENING) {
            Object address = values.get(setting);
            Setting first = address == null ? null : users.putIfAbsent(address, setting);
            if (first != null) {
                faults.add(SettingFault.sameAddress(first, setting));
            }
        }
    }
}
