package org.turmericspan.node;

import java.util.Map;

/**
 * Validated values of all settings.
 *
 * @param values value of each setting, of the class given by {@link SettingType#type()}
 */
record SettingValues(Map<Setting, Object> values) {
    SettingValues {
        values = Map.copyOf(values);
    }

    <T> T get(Setting setting, Class<T> type) {
        return type.cast(values.get(setting));
    }

    @Override
    public String toString() {
        return values.size() + " settings";
    }
}
