package org.vanillaslip.internal.duty;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.Optional;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.settings.DutySettings;

/** Settings of duties that are not in force. */
public final class IgnoredSettings {

    private IgnoredSettings() {}

    /** Logs what the section names and is left out, if there is anything. */
    public static void log(Optional<DutySettings> duties, EventLog log) {
        duties.map(DutySettings::ignored)
                .filter(ignored -> !ignored.isEmpty())
                .ifPresent(
                        ignored ->
                                log.log(
                                        DutyEvent.SETTINGS_IGNORED,
                                        field("reasons", String.join("; ", ignored))));
    }
}
