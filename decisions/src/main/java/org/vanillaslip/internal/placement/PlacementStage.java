package org.vanillaslip.internal.placement;

/** The stages of a recorded placement. */
public enum PlacementStage {
    /** The decision to load is recorded; no report has shown its outcome. */
    LOAD_ORDERED,
    /** A report has shown the model loaded. */
    LOADED,
    /** The decision to unload is recorded; no report has shown that the model is gone. */
    UNLOAD_ORDERED
}
