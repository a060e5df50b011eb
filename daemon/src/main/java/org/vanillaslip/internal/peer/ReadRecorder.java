package org.vanillaslip.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.vanillaslip.MonotonicClock;

/**
 * Records when bytes arrive, so that a link on which a long message takes longer than the silence
 * timeout does not count as silent.
 */
final class ReadRecorder extends ChannelInboundHandlerAdapter {

    private final PeerLink mLink;
    private final MonotonicClock mClock;

    ReadRecorder(PeerLink link, MonotonicClock clock) {
        mLink = link;
        mClock = clock;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        mLink.recordRead(mClock.nowNanos());
        context.fireChannelRead(bytes);
    }
}
