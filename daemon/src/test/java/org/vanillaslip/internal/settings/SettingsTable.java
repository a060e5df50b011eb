package org.vanillaslip.internal.settings;

import java.util.List;

/** Rows of the table in {@code docs/SETTINGS.md}. */
public final class SettingsTable {
    private SettingsTable() {}

    /** Returns one row per key: section, key, allowed, default, meaning. */
    public static List<List<String>> rows() {
        return SettingsCatalogue.ALL.stream().map(SettingsTable::row).toList();
    }

    private static List<String> row(Setting<?> setting) {
        String missing = setting.required() ? "required" : "none";
        return List.of(
                "`[" + setting.section() + "]`",
                "`" + setting.key() + "`",
                setting.type().allowed(),
                setting.defaultText()
                        .map(text -> text.isEmpty() ? "empty" : "`" + text + "`")
                        .orElse(missing),
                setting.description());
    }
}
