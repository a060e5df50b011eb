package org.vanillaslip.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Builds the settings of duties. A platform may know duties that this program does not, and a wrong
 * value must not keep a host from serving, so both are left out instead of refused.
 */
final class DutySettingsBuilder {

    /** Shorter windows would need more calls than the platform accepts. */
    private static final double MIN_WINDOW_SECONDS = 0.5;

    private static final double MAX_WINDOW_SECONDS = Duration.ofDays(1).toSeconds();

    private static final Map<String, Duty> DUTIES_BY_NAME = SettingTypes.byName(Duty.values());

    private DutySettingsBuilder() {}

    static DutySettings build(
            InetSocketAddress address,
            String names,
            double callsPerSecond,
            double windowSeconds,
            double tolerance,
            Duration due) {
        Set<Duty> duties = EnumSet.noneOf(Duty.class);
        List<String> ignored = new ArrayList<>();
        for (String name : names.split(",", -1)) {
            Duty duty = DUTIES_BY_NAME.get(name.strip().toLowerCase(Locale.ROOT));
            if (duty != null) {
                duties.add(duty);
            } else if (!name.isBlank()) {
                ignored.add("duty '" + name.strip() + "' is unknown");
            }
        }
        boolean validWindow =
                windowSeconds >= MIN_WINDOW_SECONDS && windowSeconds <= MAX_WINDOW_SECONDS;
        if (!validWindow && duties.remove(Duty.USAGE_REPORT)) {
            ignored.add(
                    "usage_window_seconds is "
                            + windowSeconds
                            + ", not from "
                            + MIN_WINDOW_SECONDS
                            + " to "
                            + MAX_WINDOW_SECONDS
                            + "; no usage is reported");
        }
        Duration window =
                validWindow ? Duration.ofMillis(Math.round(windowSeconds * 1000)) : Duration.ZERO;
        return new DutySettings(address, duties, ignored, callsPerSecond, window, tolerance, due);
    }
}
