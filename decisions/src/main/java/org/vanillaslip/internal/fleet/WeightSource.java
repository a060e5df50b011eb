package org.vanillaslip.internal.fleet;

/** Source from which an engine reads the weights of a model. */
enum WeightSource {
    MEMORY,
    DISK,
    STORE
}
