package wire

import (
	"strings"
	"testing"

	"moleshift/internal/golden"
)

const facts = `{"balancers":1,"tick":5,"caps":{"cancel":true,"max_attempts":2,"second_copies":true},` +
	`"classes":[{"aim":1000,"deadline":3000,"effect":"repeatable","late_worth":0.1,"worth":1}],` +
	`"family_info":{"sets":1,"slices":2,"span":1},"report":{"via":"inline"},"unheard_of":{"x":[1]}}`

const start = "CLOCK 100.0\nCONFIGURE 3 7 " + facts + "\nREGISTER 0 2\nM 11 0 0 0 1 1 -\nM 12 1 0 0 1 1.5 -\n" +
	"TOPOLOGY 3 1 3 0\nFLUSH\n"

const query = "NEW_REQUEST 3 c:q 3000.0 -1 0 - 1 2 0 - 5\nNEW_REQUEST 3 c:a 3000.0 0 0 - 1 0.5 0 - 5\n" +
	"NEW_REQUEST 3 c:b 3000.0 1 1 4.5 1 0.5 0 - 5\n"

func TestBatches(t *testing.T) {
	for name, batches := range map[string]string{
		"life": start + "CLOCK 200.0\n" + query + "FLUSH\nCLOCK 260.0\nDONE 3 c:a 1 0 12 ok 60.0 waiting:3,odd:1\n" +
			"DONE 3 c:b 1 0 11 ok 60.0 -\nDONE 3 c:b 1 0 11 ok 60.0 -\nDROPPED 3 c:q\nFLUSH\n",
		"killed-within-a-batch": start + "CLOCK 200.0\n" + query + "SHUTDOWN 3\nCONFIGURE 3 8 " + facts +
			"\nTOPOLOGY 3 1 3 0\nFLUSH\nCLOCK 210.0\nFLUSH\n",
		"dropped-before-outcomes": start + "CLOCK 200.0\n" + query + "FLUSH\nCLOCK 210.0\nDROPPED 3 c:q\n" +
			"DONE 3 c:a 1 0 12 ok 10.0 -\nFLUSH\nCLOCK 215.0\nDONE 3 c:b 1 0 11 cancelled 15.0 -\nFLUSH\n",
		"fault-unknown-message":   start + "CLOCK 200.0\nHELLO 3\nFLUSH\n",
		"fault-field-missing":     start + "CLOCK 200.0\nELAPSED 3\nFLUSH\n",
		"fault-field-too-many":    start + "CLOCK 200.0\nELAPSED 3 wake 1\nFLUSH\n",
		"fault-bad-number":        start + "CLOCK 200.0\nDROPPED x c:q\nFLUSH\n",
		"fault-list-never-given":  start + "CLOCK 200.0\nTOPOLOGY 3 2 1 9\nFLUSH\n",
		"fault-id-never-given":    start + "CLOCK 200.0\nDONE 3 c:zz 1 0 11 ok 1.0 -\nFLUSH\n",
		"fault-instance-unknown":  start + "CLOCK 200.0\nDROPPED 4 c:q\nFLUSH\n",
		"fault-unknown-outcome":   start + "CLOCK 200.0\n" + query + "DONE 3 c:a 1 0 11 fine 1.0 -\nFLUSH\n",
		"fault-call-never-made":   start + "CLOCK 200.0\n" + query + "DONE 3 c:a 1 5 11 ok 1.0 -\nFLUSH\n",
		"fault-parts-missing":     start + "CLOCK 200.0\nNEW_REQUEST 3 c:q 3000.0 -1 0 - 1 2 0 - 5\nFLUSH\n",
		"fault-bad-facts":         "CLOCK 1.0\nCONFIGURE 3 7 {\"tick\":\nFLUSH\n",
		"fault-bad-list-entry":    "CLOCK 1.0\nREGISTER 0 1\nM 11 0 0 0 7 1 -\nFLUSH\n",
		"fault-clock-not-finite":  "CLOCK NaN\nFLUSH\n",
		"fault-input-ends-midway": "CLOCK 1.0\n",
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := Serve(strings.NewReader(batches), &out)
			if err != nil {
				out.WriteString("stderr: " + err.Error() + "\n")
			}
			golden.Check(t, name, out.String())
		})
	}
}
