package org.vanillaslip.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.SingleThreadEventLoop;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.netty.http.server.HttpServerResponse;

/** The connection of a caller, whose end may still be unread in its socket. */
final class CallerConnection {

    /**
     * The HTTP server pauses reading behind 32 parts of pipelined requests. A read takes at most 64
     * KiB then, so an end behind about 160 KiB of further requests is found.
     */
    private static final int MAX_READS = 4;

    private final Channel mChannel;

    CallerConnection(Channel channel) {
        mChannel = channel;
    }

    static CallerConnection of(HttpServerResponse response) {
        Channel[] channel = new Channel[1];
        response.withConnection(connection -> channel[0] = connection.channel());
        return new CallerConnection(channel[0]);
    }

    /**
     * Returns whether the connection is open after the event loop has read what has arrived on it.
     * The loop reads a request and the end of its connection in two iterations; after a stall both
     * may have arrived long ago.
     */
    Mono<Boolean> checkOpen() {
        return Mono.create(sink -> readOnce(sink, MAX_READS));
    }

    private void readOnce(MonoSink<Boolean> sink, int maxReads) {
        if (!mChannel.config().isAutoRead()) {
            // A read from the end of the pipeline is held back by the HTTP server.
            mChannel.pipeline().firstContext().read();
        }
        SingleThreadEventLoop loop = (SingleThreadEventLoop) mChannel.eventLoop();
        loop.executeAfterEventLoopIteration(
                () -> loop.execute(() -> readAgainOrReport(sink, maxReads - 1)));
    }

    private void readAgainOrReport(MonoSink<Boolean> sink, int maxReads) {
        if (mChannel.isActive() && !mChannel.config().isAutoRead() && maxReads > 0) {
            readOnce(sink, maxReads);
        } else {
            sink.success(mChannel.isActive());
        }
    }

    /** Completes if {@link #checkOpen} does with true, otherwise signals an error. */
    Mono<Void> requireOpen() {
        return checkOpen()
                .flatMap(
                        open ->
                                open
                                        ? Mono.empty()
                                        : Mono.error(new CallerDisconnectedException()));
    }
}
