package org.mountlug.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.admit.QueueId;

/**
 * Frames between controllers, written by hand into a {@link ByteBuffer}: a length, then a question (its serial) or an
 * answer. Both are small and bounded, so a frame is written whole or the connection is given up.
 */
public final class PeerCodec {
    /** Bytes; more ids than fit are told as an overflow. */
    public static final int FRAME_MAX_BYTES = 4096;
    /** Bytes of the longest id that fits; a longer one is told as an overflow. */
    private static final int ID_MAX = 127;
    /** Bytes of the longest name of a team or class that is told. */
    private static final int NAME_MAX = 255;
    /** Bytes of a queue's demand beside its names: their lengths and three counts. */
    private static final int DEMAND_FIXED_BYTES = 2 + 3 * Integer.BYTES;

    /**
     * What a node tells of itself. {@code boot} names the process, {@code served} whether the state service serves it,
     * {@code token} the highest leader's token it knows, {@code aborts} every abort it has lately told a user of, unless
     * {@code overflow}, {@code reports} how many workers' reports have lately come to it, {@code demand} what it was asked to
     * take in, the busiest queues only if not all fit.
     */
    public record StatusResponse(
            long requestId,
            long incarnation,
            boolean stateAvailable,
            long token,
            int recentReports,
            boolean cancellationsTruncated,
            List<String> cancellations,
            List<QueueDemand> demand) {
        /** An answer that tells nothing of demand. */
        public StatusResponse(
                long requestId,
                long incarnation,
                boolean stateAvailable,
                long token,
                int recentReports,
                boolean cancellationsTruncated,
                List<String> cancellations) {
            this(
                    requestId,
                    incarnation,
                    stateAvailable,
                    token,
                    recentReports,
                    cancellationsTruncated,
                    cancellations,
                    List.of());
        }
    }

    private PeerCodec() {}

    /** A frame that asks a peer about itself. */
    public static ByteBuffer writeRequest(long requestId) {
        ByteBuffer b = ByteBuffer.allocate(12);
        b.putInt(8).putLong(requestId).flip();
        return b;
    }

    /** A frame that answers a question. */
    public static ByteBuffer writeResponse(StatusResponse a) {
        ByteBuffer b = ByteBuffer.allocate(FRAME_MAX_BYTES);
        b.putInt(0)
                .putLong(a.requestId())
                .putLong(a.incarnation())
                .put((byte) (a.stateAvailable() ? 1 : 0))
                .putLong(a.token())
                .putInt(a.recentReports());
        int counted = b.position();
        b.put((byte) 0).putShort((short) 0);
        int n = 0;
        for (String s : a.cancellations()) {
            byte[] id = s.getBytes(StandardCharsets.US_ASCII);
            if (id.length > ID_MAX || b.remaining() < id.length + 1) {
                continue;
            }
            b.put((byte) id.length).put(id);
            n++;
        }
        b.put(counted, (byte)
                        (a.cancellationsTruncated() || n < a.cancellations().size() ? 1 : 0))
                .putShort(counted + 1, (short) n);
        putDemand(b, a.demand());
        b.putInt(0, b.position() - 4);
        return b.flip();
    }

    /** Demand comes last, in what room is left: older versions read no further than the list of ids. */
    private static void putDemand(ByteBuffer frame, List<QueueDemand> demand) {
        for (QueueDemand counted : demand) {
            byte[] team = counted.queue().team().getBytes(StandardCharsets.UTF_8);
            byte[] jobClass = counted.queue().jobClass().getBytes(StandardCharsets.UTF_8);
            int bytes = DEMAND_FIXED_BYTES + team.length + jobClass.length;
            if (team.length > NAME_MAX || jobClass.length > NAME_MAX || frame.remaining() < bytes) {
                continue;
            }
            frame.put((byte) team.length).put(team).put((byte) jobClass.length).put(jobClass);
            frame.putInt(counted.submissions()).putInt(counted.arrivals()).putInt(counted.throttled());
        }
    }

    private static List<QueueDemand> demand(ByteBuffer frame) {
        List<QueueDemand> demand = new ArrayList<>();
        while (frame.remaining() >= DEMAND_FIXED_BYTES) {
            QueueId queue = new QueueId(name(frame), name(frame));
            demand.add(new QueueDemand(queue, frame.getInt(), frame.getInt(), frame.getInt()));
        }
        return demand;
    }

    private static String name(ByteBuffer frame) {
        byte[] name = new byte[frame.get() & 0xff];
        frame.get(name);
        return new String(name, StandardCharsets.UTF_8);
    }

    /** The next whole frame's payload, or null if more bytes are needed; throws on a frame that cannot be ours. */
    public static ByteBuffer nextFrame(ByteBuffer in) {
        if (in.remaining() < 4) {
            return null;
        }
        int n = in.getInt(in.position());
        if (n < 8 || n > FRAME_MAX_BYTES - 4) {
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
    public static StatusResponse readResponse(ByteBuffer f) {
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
        return new StatusResponse(serial, boot, served, token, reports, overflow, ids, demand(f));
    }
}
