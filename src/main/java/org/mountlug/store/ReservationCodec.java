package org.mountlug.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.Reservation;
import org.mountlug.wire.Fields;

/** The record of a gang's reservations: each as the task's number and the machine's name. */
public final class ReservationCodec {
    private static final String ENTRIES = "t";
    private static final char SEPARATOR = '@';
    /** Characters of the record beside its entries, and of an entry beside its text. */
    private static final int FIXED_CHARS = 10;

    private static final int ENTRY_SIGNS = 3;

    private ReservationCodec() {}

    /** The record of a gang's reservations; what does not fit is left out. */
    public static Map<String, Object> write(List<Reservation> reservations, int mostChars) {
        List<Object> entries = new ArrayList<>();
        int size = FIXED_CHARS;
        for (Reservation reservation : reservations) {
            String entry = reservation.task() + String.valueOf(SEPARATOR) + reservation.machine();
            size += entry.length() + ENTRY_SIGNS;
            if (size > mostChars) {
                break; // what is not nominated is scanned for
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
