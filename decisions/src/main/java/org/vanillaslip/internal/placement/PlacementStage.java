package org.vanillaslip.internal.placement;

/** How far a recorded placement has come. */
public enum PlacementStage {
    /** The load is recorded; no report has shown its outcome. */
    LOAD_ORDERED,
    /** A report has shown the model loaded. */
    LOADED,
    /** The unload is recorded; no report has shown the model gone. */
    UNLOAD_ORDERED
}
