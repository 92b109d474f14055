package org.mountlug.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.Reservation;
import org.mountlug.wire.Fields;

/** Encodes a gang's reservations, each as the task's number and the machine's name. */
public final class ReservationCodec {
    private static final String ENTRIES = "t";
    private static final char SEPARATOR = '@';
    /** Characters of the record in addition to its entries. */
    private static final int RECORD_OVERHEAD_CHARS = 10;

    /** Characters of an entry in addition to its text. */
    private static final int ENTRY_OVERHEAD_CHARS = 3;

    private ReservationCodec() {}

    /**
     * Returns the record of a gang's reservations; those that do not fit into {@code maxChars} characters are left
     * out.
     */
    public static Map<String, Object> write(List<Reservation> reservations, int maxChars) {
        List<Object> entries = new ArrayList<>();
        int recordChars = RECORD_OVERHEAD_CHARS;
        for (Reservation reservation : reservations) {
            String entry = reservation.task() + String.valueOf(SEPARATOR) + reservation.machine();
            recordChars += entry.length() + ENTRY_OVERHEAD_CHARS;
            if (recordChars > maxChars) {
                break; // machines for the remaining tasks are found by a scan
            }
            entries.add(entry);
        }
        return Map.of(ENTRIES, entries);
    }

    /** Reads a gang's reservations. */
    public static List<Reservation> read(Map<String, Object> record) {
        List<Reservation> reservations = new ArrayList<>();
        for (Object element : Fields.getList(record, ENTRIES)) {
            String entry = (String) element;
            int separator = entry.indexOf(SEPARATOR);
            int task = Integer.parseInt(entry.substring(0, separator));
            reservations.add(new Reservation(task, entry.substring(separator + 1)));
        }
        return reservations;
    }
}
