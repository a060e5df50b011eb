package org.vanillaslip.internal.settings;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** The types of the settings. */
final class SettingTypes {
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final int MAX_PORT = 65_535;

    private SettingTypes() {}

    static SettingType<String> name() {
        return new SettingType<>(
                "1 to 63 lower-case letters, digits or inner hyphens",
                text -> Optional.of(text).filter(name -> NAME.matcher(name).matches()));
    }

    /** With port 0, the operating system selects a free port. */
    static SettingType<String> text() {
        return new SettingType<>("text", Optional::of);
    }

    static SettingType<InetSocketAddress> listenAddress() {
        return new SettingType<>("ip:port, port 0 to 65535", text -> parseAddress(text, 0));
    }

    static SettingType<InetSocketAddress> remoteAddress() {
        return new SettingType<>("ip:port, port 1 to 65535", text -> parseAddress(text, 1));
    }

    static SettingType<Integer> integer(int min, int max) {
        return new SettingType<>(
                "whole number from " + min + " to " + max,
                text -> parseNumber(text, min, max).map(Math::toIntExact));
    }

    static SettingType<Long> longInteger(long min, long max) {
        return new SettingType<>(
                "whole number from " + min + " to " + max, text -> parseNumber(text, min, max));
    }

    static SettingType<Duration> duration(long min, long max, LongFunction<Duration> unit) {
        return new SettingType<>(
                "whole number from " + min + " to " + max,
                text -> parseNumber(text, min, max).map(unit::apply));
    }

    /** A duration that may contain a fraction of the unit. */
    static SettingType<Duration> fractionalDuration(double min, double max, Duration unit) {
        return new SettingType<>(
                "number from " + min + " to " + max,
                text ->
                        decimal(text)
                                .filter(value -> value >= min && value <= max)
                                .map(value -> Duration.ofNanos((long) (value * unit.toNanos()))));
    }

    static SettingType<Double> decimal(double min, double max) {
        return new SettingType<>(
                "number from " + min + " to " + max,
                text -> decimal(text).filter(value -> value >= min && value <= max));
    }

    static <E extends Enum<E>> SettingType<E> choice(Map<String, E> values) {
        return new SettingType<>(
                "one of " + String.join(", ", values.keySet()),
                text -> Optional.ofNullable(values.get(text.toLowerCase(Locale.ROOT))));
    }

    @SafeVarargs
    static <E extends Enum<E>> Map<String, E> byName(E... values) {
        return Arrays.stream(values)
                .collect(
                        Collectors.toMap(
                                value -> value.name().toLowerCase(Locale.ROOT),
                                value -> value,
                                (first, second) -> first,
                                LinkedHashMap::new));
    }

    static SettingType<Map<String, InetSocketAddress>> namedAddresses() {
        return new SettingType<>(
                "name=ip:port entries separated by commas, each name once",
                SettingTypes::parseNamedAddresses);
    }

    private static Optional<Map<String, InetSocketAddress>> parseNamedAddresses(String text) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        if (text.isBlank()) {
            return Optional.of(addresses);
        }
        for (String entry : text.split(",", -1)) {
            int equals = entry.indexOf('=');
            Optional<String> name = name().parse(entry.substring(0, Math.max(equals, 0)).strip());
            Optional<InetSocketAddress> address =
                    parseAddress(entry.substring(equals + 1).strip(), 1);
            if (name.isEmpty()
                    || address.isEmpty()
                    || addresses.putIfAbsent(name.get(), address.get()) != null) {
                return Optional.empty();
            }
        }
        return Optional.of(addresses);
    }

    private static Optional<InetSocketAddress> parseAddress(String text, int minPort) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        // Only accepts literal addresses, so that reading the settings never resolves a host name.
        InetAddress address =
                NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        return parseNumber(text.substring(colon + 1), minPort, MAX_PORT)
                .filter(port -> address != null)
                .map(port -> new InetSocketAddress(address, Math.toIntExact(port)));
    }

    private static Optional<Long> parseNumber(String text, long min, long max) {
        try {
            return Optional.of(Long.parseLong(text)).filter(value -> value >= min && value <= max);
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    private static Optional<Double> decimal(String text) {
        try {
            return Optional.of(Double.parseDouble(text));
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }
}
