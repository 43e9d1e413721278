"""Job bodies: parsing of valid ones, and the error message of each invalid one."""

import json
import unittest

from sparloom.scheduler.specification import MAXIMUM_TASK_SPEC_BYTES, parse_job


def error_message(**body):
    return parse_job(json.dumps(body).encode()).failure()


class JobBodies(unittest.TestCase):
    def test_complete_body(self):
        body = {
            "taskSpec": "x",
            "steps": [
                {"replicaCount": 4, "cpu": 500, "memoryRequestMb": 256, "estimatedMs": 900, "affinity": "r1-3"},
                {"replicaCount": 2, "gpuCount": 1, "dependsOn": [0], "checkpoints": True, "gangScheduled": True},
            ],
            "repetitions": 2,
            "initialDelayMs": 1000,
            "intervalMs": 500,
        }
        job = parse_job(json.dumps(body).encode()).unwrap()
        self.assertEqual(job.steps[0].needs.cpu, 500)
        self.assertEqual(job.steps[0].affinity, "r1-3")
        self.assertEqual((job.steps[1].depends_on, job.steps[1].gang, job.steps[1].checkpoints), ((0,), True, True))
        self.assertEqual([job.due_ms(repetition) for repetition in range(job.repetition_count)], [1000, 1500])

    def test_error_messages(self):
        step = {"replicaCount": 1}
        cases = (
            ({"steps": []}, "steps must be a list of 1 to 64 steps"),
            ({"steps": [3]}, "steps.0 must be an object"),
            ({"steps": [{}]}, "steps.0.replicaCount must be at least 1"),
            ({"steps": [{"replicaCount": -1}]}, "steps.0.replicaCount must be a whole number from 0 to 4096"),
            ({"steps": [{**step, "cpu": "much"}]}, "steps.0.cpu must be a whole number from 0 to 9007199254740992"),
            ({"steps": [{**step, "dependsOn": [0]}]}, "steps.0.dependsOn must be a list of numbers of earlier steps"),
            ({"steps": [{**step, "checkpoints": 1}]}, "steps.0.checkpoints must be true or false"),
            ({"steps": [{**step, "affinity": 1}]}, "steps.0.affinity must be a text"),
            ({"steps": [{"replicaCount": 4096}] * 5}, "a job must not have more than 16384 tasks"),
            (
                {"taskSpec": "x" * (MAXIMUM_TASK_SPEC_BYTES + 1), "steps": [step]},
                "taskSpec must not be longer than 4000 bytes",
            ),
        )
        for body, sentence in cases:
            with self.subTest(sentence):
                self.assertEqual(error_message(**body), sentence)
        self.assertEqual(parse_job(b"{").failure()[:23], "the body is not JSON: E")


if __name__ == "__main__":
    unittest.main()
