package org.vanillaslip.internal.control;

import org.vanillaslip.BackendServer;
import org.vanillaslip.ModelName;

/**
 * A model, or a model with an adapter, that a backend server reports as loaded.
 *
 * @param incarnation incarnation of the server on which it is loaded
 */
public record Replica(BackendServer server, String incarnation, ModelName model) {}
