package org.vanillaslip.internal.platform;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Cuts the chunks of one stream into lines; an unfinished last line is never returned. */
public final class LineSplitter {

    private final int mMostBytes;
    private final ByteArrayOutputStream mUnfinished = new ByteArrayOutputStream();

    /** Creates a splitter that accepts lines up to the given length. */
    public LineSplitter(int mostBytes) {
        mMostBytes = mostBytes;
    }

    /** Returns the lines that the chunk completes, without empty ones. */
    public List<byte[]> split(byte[] chunk) {
        List<byte[]> lines = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < chunk.length; index++) {
            if (chunk[index] == '\n') {
                mUnfinished.write(chunk, start, index - start);
                if (mUnfinished.size() > 0) {
                    lines.add(mUnfinished.toByteArray());
                }
                mUnfinished.reset();
                start = index + 1;
            }
        }
        mUnfinished.write(chunk, start, chunk.length - start);
        if (mUnfinished.size() > mMostBytes) {
            throw new IllegalArgumentException("A line has more than " + mMostBytes + " bytes.");
        }
        return lines;
    }
}
