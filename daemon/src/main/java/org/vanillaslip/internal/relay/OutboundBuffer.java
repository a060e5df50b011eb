package org.vanillaslip.internal.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import reactor.netty.http.server.HttpServerResponse;

/** Bytes of a response that are not in the socket yet, and are lost when the process ends. */
final class OutboundBuffer {

    private OutboundBuffer() {}

    /** Runs the action when the buffer is empty or its connection is closed. */
    static void whenWritten(HttpServerResponse response, Runnable action) {
        response.withConnection(
                connection -> {
                    Channel channel = connection.channel();
                    channel.eventLoop().execute(() -> whenWritten(channel, action));
                });
    }

    private static void whenWritten(Channel channel, Runnable action) {
        ChannelHandlerContext first = channel.pipeline().firstContext();
        if (first == null) {
            action.run();
            return;
        }
        // Writes end in order, so an empty one ends after all parts of the response.
        first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> action.run());
    }
}
