package org.vanillaslip.internal.platform;

/**
 * A fault of a configuration file, or a difference from the version in force.
 *
 * @param item location in the file, such as {@code routes[3].timeoutMs}, or name of an entry
 */
public record ConfigurationFinding(Kind kind, String item, String detail) {

    /** What the finding means for the configuration. */
    public enum Kind {
        /** The daemon ignores or rejects this part of the file. */
        ERROR("error"),
        /** No call can ever use the entry. */
        NEVER_USED("never used"),
        /** Two values of the file exclude each other. */
        CONTRADICTION("contradiction"),
        /** The entry is not in force. */
        NEW("new"),
        /** The entry is in force and the file leaves it out. */
        REMOVED("removed"),
        /** The entry is in force with other values. */
        CHANGED("changed");

        private final String mText;

        Kind(String text) {
            mText = text;
        }

        /** Returns the name that operators see. */
        public String text() {
            return mText;
        }

        /** Returns whether findings of this kind are faults; the others are differences. */
        public boolean isFault() {
            return this == ERROR || this == NEVER_USED || this == CONTRADICTION;
        }
    }
}
