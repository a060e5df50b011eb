package org.vanillaslip.internal.settings;

/**
 * A fault in a settings file.
 *
 * @param key key of the setting; empty if the whole section is at fault
 * @param value value in the file; empty if it is missing
 * @param allowed description of what is accepted
 */
public record SettingsFault(String section, String key, String value, String allowed) {

    /** Returns a one-line description of the fault. */
    public String toLine() {
        String location = section.isEmpty() ? "" : "[" + section + "] ";
        return (location + key).strip() + " = '" + value + "': " + allowed;
    }
}
