package org.vanillaslip.internal.fleet;

/** Where an engine reads the weights of a model from. */
enum WeightSource {
    MEMORY,
    DISK,
    STORE
}
