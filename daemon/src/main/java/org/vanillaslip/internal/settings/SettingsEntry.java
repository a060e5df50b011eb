package org.vanillaslip.internal.settings;

/**
 * An entry of a settings file.
 *
 * @param section section of the entry; empty before the first section
 * @param key key of the entry; empty for a section without keys
 */
record SettingsEntry(String section, String key, String value) {}
