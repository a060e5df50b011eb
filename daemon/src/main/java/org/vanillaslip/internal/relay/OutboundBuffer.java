package org.vanillaslip.internal.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import reactor.netty.http.server.HttpServerResponse;

/** Bytes of a response that are not in the socket yet, and are lost when the process ends. */
final class OutboundBuffer {

    private final Channel mChannel;

    private OutboundBuffer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Returns the buffer of the response's connection. To be called before the response is sent: a
     * complete response has given its connection back and only refers to a placeholder.
     */
    static OutboundBuffer of(HttpServerResponse response) {
        AtomicReference<Channel> channel = new AtomicReference<>();
        response.withConnection(connection -> channel.set(connection.channel()));
        return new OutboundBuffer(Objects.requireNonNull(channel.get()));
    }

    /** Runs the action once, when the buffer is empty or its connection is closed. */
    void whenWritten(Runnable action) {
        if (mChannel.isRegistered()) {
            mChannel.eventLoop().execute(() -> writeMarker(action));
        } else {
            action.run();
        }
    }

    private void writeMarker(Runnable action) {
        ChannelHandlerContext first = mChannel.pipeline().firstContext();
        if (first == null) {
            action.run();
            return;
        }
        // Writes end in order, so an empty one ends after all parts of the response.
        first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> action.run());
    }
}
