package org.turmericspan.node;

import java.util.Map;

/**
 * Checked values of all settings.
 *
 * @param values one value a setting, of the class its type names
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
