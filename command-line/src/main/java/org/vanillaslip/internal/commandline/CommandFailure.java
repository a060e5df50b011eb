package org.vanillaslip.internal.commandline;

import java.util.List;
import java.util.Optional;
import org.vanillaslip.ResultCode;

/**
 * The reason why a command failed.
 *
 * @param code result code, empty for platform failures and usage errors
 * @param details one line for each fault or affected item
 */
record CommandFailure(
        ExitCode exitCode, Optional<ResultCode> code, String message, List<String> details) {}
