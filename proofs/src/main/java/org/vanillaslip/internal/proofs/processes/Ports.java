package org.vanillaslip.internal.proofs.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Free ports on the loopback interface. */
public final class Ports {

    /** Linux draws the ports of outgoing connections from 32768 up. */
    static final int FIRST_PORT = 15_000;

    static final int LAST_PORT = 32_000;

    private static final int PORT_COUNT = LAST_PORT - FIRST_PORT + 1;

    /** Processes that run side by side begin at places that are far apart. */
    private static final long PORTS_BETWEEN_PROCESSES = 997;

    private static final AtomicInteger NEXT_INDEX =
            new AtomicInteger(
                    (int) (ProcessHandle.current().pid() * PORTS_BETWEEN_PROCESSES % PORT_COUNT));

    private Ports() {}

    /**
     * Returns a port that was free at the time of the call. A port that was bound and given back
     * would be drawn again by the kernel, so ports are counted up instead.
     */
    public static int findFreePort() {
        for (int tried = 0; tried < PORT_COUNT; tried++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_INDEX.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException(
                "no port between " + FIRST_PORT + " and " + LAST_PORT + " is free");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
