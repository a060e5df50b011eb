package org.vanillaslip.internal.peer;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.vanillaslip.internal.metrics.PeerDirection;
import org.vanillaslip.messages.Envelope;

/** Counts the messages sent and received on a connection, including heartbeats. */
final class PeerMessageCounter extends ChannelDuplexHandler {

    private final LinkTraffic mTraffic;

    PeerMessageCounter(LinkTraffic traffic) {
        mTraffic = traffic;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        count(PeerDirection.RECEIVED, message);
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        count(PeerDirection.SENT, message);
        context.write(message, promise);
    }

    private void count(PeerDirection direction, Object message) {
        if (message instanceof Envelope envelope) {
            mTraffic.record(direction, envelope);
        }
    }
}
