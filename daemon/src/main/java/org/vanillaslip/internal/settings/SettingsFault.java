package org.vanillaslip.internal.settings;

/**
 * One fault of a settings file.
 *
 * @param key empty when the fault concerns the whole section or file
 * @param value the value as written, empty when it is missing
 * @param allowed what would be accepted
 */
public record SettingsFault(String section, String key, String value, String allowed) {

    /** Returns the fault as one line. */
    public String toLine() {
        String location = section.isEmpty() ? "" : "[" + section + "] ";
        return (location + key).strip() + " = '" + value + "': " + allowed;
    }
}
