package org.vanillaslip.internal.settings;

/**
 * One line of a settings file.
 *
 * @param section empty when the line stands before the first section
 * @param key empty for a section without keys
 */
record SettingsEntry(String section, String key, String value) {}
