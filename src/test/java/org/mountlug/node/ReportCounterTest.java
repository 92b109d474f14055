package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reports within the last seconds, whatever gaps lie between. */
class ReportCounterTest {
    @ParameterizedTest(name = "asked at {0}: {1}")
    @CsvSource({"100, 10", "103, 15", "106, 15", "107, 5", "110, 0", "500, 0"})
    void onlyTheLatestCount(double at, int reports) {
        ReportCounter c = new ReportCounter(6);
        for (int i = 0; i < 10; i++) {
            c.recordReport(100);
        }
        if (at >= 103) {
            for (int i = 0; i < 5; i++) {
                c.recordReport(103);
            }
        }
        assertEquals(reports, c.recentCount(at));
    }
}
