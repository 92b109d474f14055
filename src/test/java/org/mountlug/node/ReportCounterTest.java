package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against reports that are counted too long or too briefly when no call was made for some seconds. */
class ReportCounterTest {
    @ParameterizedTest(name = "at {0} s: {1} reports")
    @CsvSource({"100, 10", "103, 15", "106, 15", "107, 5", "110, 0", "500, 0"})
    void countsOnlyReportsWithinTheWindow(double atS, int reports) {
        ReportCounter counter = new ReportCounter(6);
        for (int i = 0; i < 10; i++) {
            counter.recordReport(100);
        }
        if (atS >= 103) {
            for (int i = 0; i < 5; i++) {
                counter.recordReport(103);
            }
        }
        assertEquals(reports, counter.recentCount(atS));
    }
}
