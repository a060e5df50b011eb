package org.vanillaslip.internal.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import reactor.core.publisher.Flux;
import reactor.netty.DisposableServer;

/** Runs a stand-in for the platform's object API as a process on the loopback address. */
@Command(name = "platform-stand-in", description = "Serves the platform's object API from memory")
public final class PlatformStandIn {

    /** Retained changes: about three days of changes at the design size. */
    private static final int HISTORY_LIMIT = 20_000;

    @Option(name = "--port", description = "Port on 127.0.0.1; 0 picks a free one")
    private int mPort;

    @Option(name = "--objects", description = "JSON file with initial objects by collection")
    private @Nullable String mInitialObjects;

    /** Prints the address as the first line and runs until the process is terminated. */
    public static void main(String[] arguments) throws IOException {
        SingleCommand.singleCommand(PlatformStandIn.class).parse(arguments).run();
    }

    private void run() throws IOException {
        ObjectStorage storage = new ObjectStorage(HISTORY_LIMIT);
        ObjectJsonCodec codec = new ObjectJsonCodec(new ObjectMapper());
        if (mInitialObjects != null) {
            new InitialObjectLoader(codec)
                    .load(Files.readAllBytes(Path.of(mInitialObjects)), storage);
        }
        PlatformHttpServer server =
                new PlatformHttpServer(storage, new PlatformFaults(), new CallCounts(), codec);
        DisposableServer bound = server.bind(mPort).block();
        if (bound == null) {
            throw new IOException("Cannot bind to port " + mPort + " on 127.0.0.1.");
        }
        System.out.println("listening on 127.0.0.1:" + bound.port());
        Flux.interval(InProcessObjectStore.BOOKMARK_INTERVAL)
                .onBackpressureDrop()
                .doOnNext(tick -> storage.sendBookmarks())
                .blockLast();
    }
}
