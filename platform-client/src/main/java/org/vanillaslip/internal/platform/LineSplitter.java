package org.vanillaslip.internal.platform;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Cuts the chunks of one stream into lines; an unfinished last line is never returned. */
public final class LineSplitter {

    private final int mMaxLineBytes;
    private final ByteArrayOutputStream mPartialLine = new ByteArrayOutputStream();

    /** Creates a splitter that accepts lines up to the given length. */
    public LineSplitter(int maxLineBytes) {
        mMaxLineBytes = maxLineBytes;
    }

    /** Returns the lines that the chunk completes, without empty ones. */
    public List<byte[]> split(byte[] chunk) {
        List<byte[]> lines = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < chunk.length; index++) {
            if (chunk[index] == '\n') {
                mPartialLine.write(chunk, start, index - start);
                if (mPartialLine.size() > 0) {
                    lines.add(mPartialLine.toByteArray());
                }
                mPartialLine.reset();
                start = index + 1;
            }
        }
        mPartialLine.write(chunk, start, chunk.length - start);
        if (mPartialLine.size() > mMaxLineBytes) {
            throw new IllegalArgumentException("A line has more than " + mMaxLineBytes + " bytes.");
        }
        return lines;
    }
}
