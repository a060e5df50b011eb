package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * What a command prints.
 *
 * @param lines output as text
 * @param json the same as JSON
 */
record CommandResult(List<String> lines, JsonNode json) {}
