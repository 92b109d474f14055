package org.mountlug.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Frames between controllers, written by hand into a {@link ByteBuffer}: a length, then a question (its serial) or an
 * answer. Both are small and bounded, so a frame is written whole or the connection is given up.
 */
public final class PeerCodec {
    /** Bytes; more ids than fit are told as an overflow. */
    public static final int FRAME_MAX = 4096;
    /** Bytes of the longest id that fits; a longer one is told as an overflow. */
    private static final int ID_MAX = 127;

    /**
     * What a node tells of itself. {@code boot} names the process, {@code served} whether the state service serves it,
     * {@code token} the highest leader's token it knows, {@code aborts} every abort it has lately told a user of, unless
     * {@code overflow}, {@code reports} how many workers' reports have lately come to it.
     */
    public record Answer(
            long serial, long boot, boolean served, long token, int reports, boolean overflow, List<String> aborts) {}

    private PeerCodec() {}

    /** A frame that asks a peer about itself. */
    public static ByteBuffer question(long serial) {
        ByteBuffer b = ByteBuffer.allocate(12);
        b.putInt(8).putLong(serial).flip();
        return b;
    }

    /** A frame that answers a question. */
    public static ByteBuffer answer(Answer a) {
        ByteBuffer b = ByteBuffer.allocate(FRAME_MAX);
        b.putInt(0)
                .putLong(a.serial())
                .putLong(a.boot())
                .put((byte) (a.served() ? 1 : 0))
                .putLong(a.token())
                .putInt(a.reports());
        int counted = b.position();
        b.put((byte) 0).putShort((short) 0);
        int n = 0;
        for (String s : a.aborts()) {
            byte[] id = s.getBytes(StandardCharsets.US_ASCII);
            if (id.length > ID_MAX || b.remaining() < id.length + 1) {
                continue;
            }
            b.put((byte) id.length).put(id);
            n++;
        }
        b.put(counted, (byte) (a.overflow() || n < a.aborts().size() ? 1 : 0)).putShort(counted + 1, (short) n);
        b.putInt(0, b.position() - 4);
        return b.flip();
    }

    /** The next whole frame's payload, or null if more bytes are needed; throws on a frame that cannot be ours. */
    public static ByteBuffer next(ByteBuffer in) {
        if (in.remaining() < 4) {
            return null;
        }
        int n = in.getInt(in.position());
        if (n < 8 || n > FRAME_MAX - 4) {
            throw new IllegalArgumentException("frame of " + n + " bytes");
        }
        if (in.remaining() < 4 + n) {
            return null;
        }
        ByteBuffer f = in.slice(in.position() + 4, n);
        in.position(in.position() + 4 + n);
        return f;
    }

    /** Reads the payload of an answer. */
    public static Answer answer(ByteBuffer f) {
        long serial = f.getLong();
        long boot = f.getLong();
        boolean served = f.get() != 0;
        long token = f.getLong();
        int reports = f.getInt();
        boolean overflow = f.get() != 0;
        int n = f.getShort();
        List<String> ids = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            byte[] id = new byte[f.get()];
            f.get(id);
            ids.add(new String(id, StandardCharsets.US_ASCII));
        }
        return new Answer(serial, boot, served, token, reports, overflow, ids);
    }
}
