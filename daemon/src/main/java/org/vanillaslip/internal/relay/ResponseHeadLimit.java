package org.vanillaslip.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes that a server may send before its response head is complete. This includes
 * interim (1xx) responses and blank lines, which the codec would read without a limit.
 */
final class ResponseHeadLimit extends ChannelInboundHandlerAdapter {

    /** The codec limits the lines of one head to 12 KiB. */
    static final int MAX_HEAD_BYTES = 32 * 1024;

    private static final String HANDLER_NAME = "answer-head-bound";

    private int mReceivedBytes;

    /** Installs the limit in front of the codec. */
    static void add(Channel channel) {
        channel.pipeline().addFirst(HANDLER_NAME, new ResponseHeadLimit());
    }

    /** Removes the limit once the head is complete. */
    static void remove(Channel channel) {
        if (channel.pipeline().get(HANDLER_NAME) != null) {
            channel.pipeline().remove(HANDLER_NAME);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            mReceivedBytes += bytes.readableBytes();
            // The read that completes the head may contain a part of the body.
            if (mReceivedBytes - bytes.readableBytes() > MAX_HEAD_BYTES) {
                ReferenceCountUtil.release(message);
                context.fireExceptionCaught(
                        new TooLongFrameException(
                                "no complete head within " + MAX_HEAD_BYTES + " bytes"));
                context.close();
                return;
            }
        }
        context.fireChannelRead(message);
    }
}
