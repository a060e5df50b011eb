package org.vanillaslip.internal.commandline;

import java.util.List;
import java.util.Optional;
import org.vanillaslip.ResultCode;

/**
 * Why a command did not succeed.
 *
 * @param code numbered code, empty for failures of the platform and wrong usage
 * @param details one line for each fault or item concerned
 */
record CommandFailure(
        ExitCode exitCode, Optional<ResultCode> code, String message, List<String> details) {}
