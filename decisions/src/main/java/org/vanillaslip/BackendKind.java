package org.vanillaslip;

/** What a backend server runs. */
public enum BackendKind {
    /** Loads models and adapters when ordered to, and streams completions. */
    MODEL_ENGINE,
    /** Serves plain HTTP calls, some of which are not repeatable. */
    PLAIN_SERVICE
}
