package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The output of a command that ran to its end.
 *
 * @param lines output as text
 * @param json the same output as JSON
 */
record CommandResult(List<String> lines, JsonNode json, ExitCode exitCode) {

    CommandResult(List<String> lines, JsonNode json) {
        this(lines, json, ExitCode.OK);
    }
}
