package org.mountlug.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mountlug.Fixtures;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/** What users may send, field by field. */
class JobParserTest {
    private static Map<String, Object> good() {
        Map<String, Object> m = new HashMap<>();
        m.put("nameId", "wk-000412");
        m.put("lane", "l");
        m.put("crew", "t");
        m.put("shape", "array");
        m.put("urgency", "high");
        m.put("pieces", 16L);
        for (String k : List.of("vcpus", "ramGb", "expectedS", "imageGb", "cards", "bookmarkS", "stashS")) {
            m.put(k, 1.0);
        }
        for (String k : List.of("oneZone", "apart", "loaners")) {
            m.put(k, false);
        }
        m.put("bundle", "i");
        return m;
    }

    static Stream<Arguments> bad() {
        return Stream.of(
                arguments("nameId", "x-1"),
                arguments("nameId", null),
                arguments("lane", 3L),
                arguments("shape", "ring"),
                arguments("urgency", "normal"),
                arguments("pieces", 0L),
                arguments("pieces", 100_001L),
                arguments("pieces", 1.5),
                arguments("vcpus", -1.0),
                arguments("vcpus", Double.NaN),
                arguments("ramGb", "much"),
                arguments("cards", Double.POSITIVE_INFINITY),
                arguments("builds", "g8"),
                arguments("builds", List.of(1L)),
                arguments("site", 7L),
                arguments("oneZone", "yes"),
                arguments("loaners", null),
                arguments("bundle", ""),
                arguments("expectedS", null),
                arguments("dueS", "soon"));
    }

    @ParameterizedTest(name = "{0} = {1}")
    @MethodSource("bad")
    void malformedFieldsAreNamed(String field, Object value) {
        Map<String, Object> m = good();
        m.put(field, value);
        assertEquals(
                field,
                assertThrows(JobParser.MalformedJobException.class, () -> JobParser.parse(m, 0))
                        .getMessage());
    }

    @Test
    void nullsMayBeOmittedAndUnknownFieldsIgnored() throws JobParser.MalformedJobException {
        Map<String, Object> m = good();
        m.put("colour", "red");
        JobSpec s = JobParser.parse(m, 5);
        assertEquals(16, s.tasks());
        assertEquals(Priority.HIGH, s.priority());
    }

    @ParameterizedTest(name = "{0}, {1} s")
    @CsvSource({"array, 1, ARRAY", "group, 1, GANG", "daemon, 0, SERVICE", "daemon, 3600, SERVICE", "array, 0, ARRAY"})
    void shapes(String said, double expectedS, JobType shape) throws JobParser.MalformedJobException {
        Map<String, Object> m = good();
        m.put("shape", said);
        m.put("expectedS", expectedS);
        assertEquals(shape, JobParser.parse(m, 5).jobType());
    }

    @ParameterizedTest(name = "team {0}, {1} of {2} tasks of {3} CPUs: {4}")
    @CsvSource({
        "t, ARRAY, 100, 4, ",
        "x, ARRAY, 1, 4, unknown team",
        "t, ARRAY, 1, 30, a task fits no allowed machine type",
        "t, GANG, 3, 4, needs more than the team's limit",
        "t, GANG, 2, 4, ",
        "t, SERVICE, 3, 4, needs more than the team's limit",
        "t, SERVICE, 2, 4, "
    })
    void whatCanNeverRun(String team, JobType shape, int tasks, double cpus, String why) {
        JobSpec s = Fixtures.spec("wk-000001", shape, tasks, new Resources(cpus, 0, 1), Priority.HIGH);
        Team t = new Team("t", 0, 8, 0, 0, 1);
        assertEquals(
                why,
                JobParser.unschedulableReason(
                        s, n -> team.equals("t") ? t : null, List.of(Fixtures.SMALL_TYPE, Fixtures.GPU_TYPE)));
    }
}
