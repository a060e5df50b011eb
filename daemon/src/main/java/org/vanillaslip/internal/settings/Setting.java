package org.vanillaslip.internal.settings;

import java.util.Optional;

/**
 * A key of the settings file.
 *
 * @param defaultText value if the key is missing; empty if the key is required or has no default
 * @param required whether the key must be present
 */
record Setting<T>(
        String section,
        String key,
        SettingType<T> type,
        Optional<String> defaultText,
        boolean required,
        String description) {

    static <T> Setting<T> required(
            String section, String key, SettingType<T> type, String description) {
        return new Setting<>(section, key, type, Optional.empty(), true, description);
    }

    static <T> Setting<T> optional(
            String section, String key, SettingType<T> type, String description) {
        return new Setting<>(section, key, type, Optional.empty(), false, description);
    }

    Setting<T> orDefault(String text) {
        return new Setting<>(section, key, type, Optional.of(text), false, description);
    }
}
