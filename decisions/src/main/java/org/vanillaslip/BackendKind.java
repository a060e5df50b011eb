package org.vanillaslip;

/** What a backend server runs. */
public enum BackendKind {
    /** Loads models and adapters on order and streams completions. */
    MODEL_ENGINE,
    /** Serves plain HTTP calls, some of which must not be repeated. */
    PLAIN_SERVICE
}
