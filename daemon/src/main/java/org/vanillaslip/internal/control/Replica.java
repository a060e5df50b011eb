package org.vanillaslip.internal.control;

import org.vanillaslip.BackendServer;
import org.vanillaslip.ModelName;

/**
 * A model, or a model with an adapter, that a backend server reports as loaded.
 *
 * @param incarnation incarnation of the server that holds it
 */
public record Replica(BackendServer server, String incarnation, ModelName model) {}
