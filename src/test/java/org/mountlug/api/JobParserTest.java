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

/** Tests which submissions are valid, field by field, and which jobs are rejected because they can never run. */
class JobParserTest {
    private static Map<String, Object> validFields() {
        Map<String, Object> fields = new HashMap<>();
        fields.put("nameId", "wk-000412");
        fields.put("lane", "l");
        fields.put("crew", "t");
        fields.put("shape", "array");
        fields.put("urgency", "high");
        fields.put("pieces", 16L);
        for (String name : List.of("vcpus", "ramGb", "expectedS", "imageGb", "cards", "bookmarkS", "stashS")) {
            fields.put(name, 1.0);
        }
        for (String name : List.of("oneZone", "apart", "loaners")) {
            fields.put(name, false);
        }
        fields.put("bundle", "i");
        return fields;
    }

    static Stream<Arguments> invalidFields() {
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
    @MethodSource("invalidFields")
    void errorNamesTheInvalidField(String field, Object value) {
        Map<String, Object> fields = validFields();
        fields.put(field, value);
        assertEquals(
                field,
                assertThrows(JobParser.MalformedJobException.class, () -> JobParser.parse(fields, 0))
                        .getMessage());
    }

    @Test
    void optionalFieldsMayBeAbsentAndUnknownFieldsAreIgnored() throws JobParser.MalformedJobException {
        Map<String, Object> fields = validFields();
        fields.put("colour", "red");
        JobSpec spec = JobParser.parse(fields, 5);
        assertEquals(16, spec.tasks());
        assertEquals(Priority.HIGH, spec.priority());
    }

    @ParameterizedTest(name = "shape {0}, expectedS {1}")
    @CsvSource({"array, 1, ARRAY", "group, 1, GANG", "daemon, 0, SERVICE", "daemon, 3600, SERVICE", "array, 0, ARRAY"})
    void shapeFieldSelectsTheJobType(String shape, double expectedS, JobType jobType)
            throws JobParser.MalformedJobException {
        Map<String, Object> fields = validFields();
        fields.put("shape", shape);
        fields.put("expectedS", expectedS);
        assertEquals(jobType, JobParser.parse(fields, 5).jobType());
    }

    @ParameterizedTest(name = "team {0}, {1} with {2} tasks of {3} CPUs each: {4}")
    @CsvSource({
        "t, ARRAY, 100, 4, ",
        "x, ARRAY, 1, 4, unknown team",
        "t, ARRAY, 1, 30, a task fits no allowed machine type",
        "t, GANG, 3, 4, needs more than the team's limit",
        "t, GANG, 2, 4, ",
        "t, SERVICE, 3, 4, needs more than the team's limit",
        "t, SERVICE, 2, 4, "
    })
    void jobsThatCanNeverRunAreRejectedWithAReason(
            String teamName, JobType jobType, int tasks, double cpus, String reason) {
        JobSpec spec = Fixtures.spec("wk-000001", jobType, tasks, new Resources(cpus, 0, 1), Priority.HIGH);
        Team team = new Team("t", 0, 8, 0, 0, 1);
        assertEquals(
                reason,
                JobParser.unschedulableReason(
                        spec,
                        name -> teamName.equals("t") ? team : null,
                        List.of(Fixtures.SMALL_TYPE, Fixtures.GPU_TYPE)));
    }
}
