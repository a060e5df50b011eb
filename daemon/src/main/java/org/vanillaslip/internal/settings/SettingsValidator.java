package org.vanillaslip.internal.settings;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.FailureDomain;

/** Validates the entries of a settings file against the catalogue and collects all faults. */
final class SettingsValidator {
    private final List<SettingsEntry> mEntries;
    private final List<SettingsFault> mFaults = new ArrayList<>();

    SettingsValidator(List<SettingsEntry> entries) {
        mEntries = List.copyOf(entries);
    }

    Either<List<SettingsFault>, Settings> validate() {
        mEntries.forEach(this::checkSectionAndKey);
        SettingsCatalogue.ALL.forEach(this::checkValues);
        if (mFaults.isEmpty()) {
            checkContradictions();
        }
        return mFaults.isEmpty()
                ? Either.right(buildSettings())
                : Either.left(List.copyOf(mFaults));
    }

    private void checkSectionAndKey(SettingsEntry entry) {
        List<String> keys =
                SettingsCatalogue.ALL.stream()
                        .filter(setting -> setting.section().equals(entry.section()))
                        .map(Setting::key)
                        .toList();
        if (keys.isEmpty()) {
            String sections =
                    SettingsCatalogue.ALL.stream()
                            .map(Setting::section)
                            .distinct()
                            .collect(Collectors.joining(", "));
            addFault(entry, "unknown section; allowed are " + sections);
        } else if (!entry.key().isEmpty() && !keys.contains(entry.key())) {
            addFault(entry, "unknown key; allowed are " + String.join(", ", keys));
        }
    }

    private void checkValues(Setting<?> setting) {
        List<SettingsEntry> entries = entriesOf(setting);
        if (entries.isEmpty() && setting.required()) {
            addFault(
                    new SettingsEntry(setting.section(), setting.key(), ""),
                    "missing; allowed is " + setting.type().allowed());
        }
        if (entries.size() > 1) {
            entries.stream().skip(1).forEach(entry -> addFault(entry, "repeated; allowed is once"));
        }
        entries.stream()
                .filter(entry -> setting.type().parse(entry.value()).isEmpty())
                .forEach(entry -> addFault(entry, "allowed is " + setting.type().allowed()));
    }

    private void checkContradictions() {
        int maxWaitingRequests = value(SettingsCatalogue.MAX_WAITING_REQUESTS);
        checkAtMost(SettingsCatalogue.MAX_WAITING_REQUESTS_PER_WORKSPACE, maxWaitingRequests);
        long maxWaitingBytes = value(SettingsCatalogue.MAX_WAITING_BYTES);
        checkAtMost(SettingsCatalogue.MAX_BODY_BYTES, maxWaitingBytes);
        boolean sameAddress =
                value(SettingsCatalogue.GATEWAY_ADDRESS)
                        .equals(value(SettingsCatalogue.PEER_ADDRESS));
        if (sameAddress && value(SettingsCatalogue.PEER_ADDRESS).getPort() != 0) {
            addFault(
                    entriesOf(SettingsCatalogue.PEER_ADDRESS).get(0),
                    "allowed is an address other than gateway_address");
        }
    }

    private void checkAtMost(Setting<Integer> setting, long max) {
        int value = value(setting);
        if (value > max) {
            addFault(
                    new SettingsEntry(setting.section(), setting.key(), Integer.toString(value)),
                    "allowed is at most " + max + ", the limit of all waiting requests");
        }
    }

    private Settings buildSettings() {
        return new Settings(
                buildHostSettings(),
                new PlatformSettings(
                        value(SettingsCatalogue.PLATFORM_ADDRESS),
                        value(SettingsCatalogue.CALLS_PER_SECOND),
                        value(SettingsCatalogue.REQUEST_TIMEOUT)),
                new PeerSettings(value(SettingsCatalogue.BOOTSTRAP)),
                buildAdmissionSettings(),
                new RoutingSettings(value(SettingsCatalogue.SERVER_SPEED)),
                new PlacementSettings(
                        value(SettingsCatalogue.IDLE_WEIGHT),
                        value(SettingsCatalogue.WEIGHT_STORE_LOADS_PER_SECOND),
                        value(SettingsCatalogue.WEIGHT_STORE_PARALLEL_LOADS),
                        value(SettingsCatalogue.ADAPTER_LOADS_IN_FLIGHT),
                        value(SettingsCatalogue.LEASE)),
                new LogSettings(
                        value(SettingsCatalogue.LOG_FORMAT), value(SettingsCatalogue.LOG_LEVEL)),
                buildServingSettings(),
                buildDutySettings());
    }

    private Optional<DutySettings> buildDutySettings() {
        return Optional.ofNullable(valueOrNull(SettingsCatalogue.DUTY_ADDRESS))
                .map(
                        address ->
                                DutySettingsBuilder.build(
                                        address,
                                        value(SettingsCatalogue.DUTIES),
                                        value(SettingsCatalogue.DUTY_CALLS_PER_SECOND),
                                        value(SettingsCatalogue.USAGE_WINDOW_SECONDS),
                                        value(SettingsCatalogue.USAGE_TOLERANCE),
                                        value(SettingsCatalogue.USAGE_DUE)));
    }

    private Optional<ServingSettings> buildServingSettings() {
        return Optional.ofNullable(valueOrNull(SettingsCatalogue.READINESS_ADDRESS))
                .map(
                        readiness ->
                                new ServingSettings(
                                        readiness,
                                        value(SettingsCatalogue.METRICS_ADDRESS),
                                        value(SettingsCatalogue.ORDER_TURN),
                                        value(SettingsCatalogue.RETRY_RATIO),
                                        value(SettingsCatalogue.RETRY_EXTRA),
                                        value(SettingsCatalogue.RETRY_WINDOW),
                                        value(SettingsCatalogue.RATE_SLACK)));
    }

    private HostSettings buildHostSettings() {
        Long seed = valueOrNull(SettingsCatalogue.RANDOM_SEED);
        return new HostSettings(
                value(SettingsCatalogue.NAME),
                new FailureDomain(value(SettingsCatalogue.FAILURE_DOMAIN)),
                value(SettingsCatalogue.GATEWAY_ADDRESS),
                value(SettingsCatalogue.PEER_ADDRESS),
                value(SettingsCatalogue.SHUTDOWN_DELAY),
                value(SettingsCatalogue.SHUTDOWN_TIMEOUT),
                value(SettingsCatalogue.LINK_MEGABITS),
                seed == null ? OptionalLong.empty() : OptionalLong.of(seed));
    }

    private AdmissionSettings buildAdmissionSettings() {
        long age = value(SettingsCatalogue.MAX_CONFIGURATION_AGE);
        return new AdmissionSettings(
                value(SettingsCatalogue.MAX_BODY_BYTES),
                value(SettingsCatalogue.MAX_WAITING_REQUESTS),
                value(SettingsCatalogue.MAX_WAITING_REQUESTS_PER_WORKSPACE),
                value(SettingsCatalogue.MAX_WAITING_BYTES),
                age == 0 ? Optional.empty() : Optional.of(Duration.ofSeconds(age)),
                value(SettingsCatalogue.WAITING_ORDER));
    }

    private <T> T value(Setting<T> setting) {
        T value = valueOrNull(setting);
        if (value == null) {
            throw new IllegalStateException(setting.key() + " has no value and no default.");
        }
        return value;
    }

    private <T> @Nullable T valueOrNull(Setting<T> setting) {
        return entriesOf(setting).stream()
                .map(SettingsEntry::value)
                .findFirst()
                .or(setting::defaultText)
                .flatMap(setting.type()::parse)
                .orElse(null);
    }

    private List<SettingsEntry> entriesOf(Setting<?> setting) {
        return mEntries.stream()
                .filter(entry -> entry.section().equals(setting.section()))
                .filter(entry -> entry.key().equals(setting.key()))
                .toList();
    }

    private void addFault(SettingsEntry entry, String allowed) {
        mFaults.add(new SettingsFault(entry.section(), entry.key(), entry.value(), allowed));
    }
}
