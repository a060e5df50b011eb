package org.vanillaslip.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Section {@code [platform]}. */
public record PlatformSettings(
        InetSocketAddress address, int callsPerSecond, Duration requestTimeout) {}
