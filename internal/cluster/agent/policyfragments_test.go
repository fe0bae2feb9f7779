package agent

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// receivedFragment is a fragment with the envelope in which it arrived.
type receivedFragment struct {
	envelope envelope
	payload  []byte
}

// drawFragments splits a message into fragments and repeats some of them.
func drawFragments(t *rapid.T, sender string, message []byte) (fragments []receivedFragment) {
	for _, payload := range splitMessage(7, message) {
		copies := rapid.IntRange(1, 2).Draw(t, "copies")
		fragments = append(fragments, slices.Repeat([]receivedFragment{{envelope{sender: sender, incarnation: 3}, payload}}, copies)...)
	}
	return fragments
}

// Fragments may arrive repeatedly, in any order, and mixed with fragments of other messages.
func TestReassemblerReassemblesMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := map[string][]byte{}
		var fragments []receivedFragment
		for _, sender := range []string{"g1", "g2"} {
			messages[sender] = rapid.SliceOfN(rapid.Byte(), 1, 5*maxFragmentBytes).Draw(t, sender)
			fragments = append(fragments, drawFragments(t, sender, messages[sender])...)
		}
		var r reassembler
		complete := map[string]bool{}
		for _, f := range rapid.Permutation(fragments).Draw(t, "order") {
			message, ok, err := r.add(0, &f.envelope, f.payload)
			if err != nil {
				t.Fatal(err)
			}
			if ok && !bytes.Equal(message, messages[f.envelope.sender]) {
				t.Fatalf("the reassembled message of %s differs from the one that was sent", f.envelope.sender)
			}
			complete[f.envelope.sender] = complete[f.envelope.sender] || ok
		}
		if len(complete) != len(messages) || !complete["g1"] || !complete["g2"] {
			t.Fatalf("expected both messages, found %v", complete)
		}
	})
}

func TestReassemblerRejectsMalformedFragments(t *testing.T) {
	for _, c := range []struct {
		name    string
		payload []byte
	}{
		{"shorter than its header", []byte{1, 0, 0, 0, 0}},
		{"of a message without fragments", []byte{0, 0, 0, 0, 0, 1, 'x'}},
		{"beyond the last one", []byte{2, 2, 0, 0, 0, 1, 'x'}},
		{"of another count than the first one", []byte{3, 1, 0, 0, 0, 9, 'x'}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r reassembler
			e := &envelope{sender: "g1", incarnation: 3}
			if _, _, err := r.add(0, e, []byte{2, 0, 0, 0, 0, 9, 'x'}); err != nil {
				t.Fatal(err)
			}
			if _, complete, err := r.add(0, e, c.payload); !errors.Is(err, errMalformed) || complete {
				t.Errorf("expected %v, found %v, complete: %t", errMalformed, err, complete)
			}
		})
	}
}

func TestReassemblerDropsOldMessages(t *testing.T) {
	first := splitMessage(1, make([]byte, 2*maxFragmentBytes))
	e := &envelope{sender: "g1", incarnation: 3}
	begin := func(t *testing.T) *reassembler {
		t.Helper()
		r := &reassembler{}
		if _, _, err := r.add(0, e, first[0]); err != nil {
			t.Fatal(err)
		}
		return r
	}
	expectDropped := func(t *testing.T, r *reassembler) {
		t.Helper()
		if _, complete, err := r.add(partialMessageTime, e, first[1]); err != nil || complete {
			t.Errorf("expected an incomplete message, found error %v, complete: %t", err, complete)
		}
	}
	t.Run("once their time is over", func(t *testing.T) {
		r := begin(t)
		r.dropExpired(partialMessageTime)
		expectDropped(t, r)
	})
	t.Run("when others are too many", func(t *testing.T) {
		r := begin(t)
		for number := range uint32(maxPartialMessages) {
			if _, _, err := r.add(0, e, splitMessage(2+number, make([]byte, 2*maxFragmentBytes))[0]); err != nil {
				t.Fatal(err)
			}
		}
		expectDropped(t, r)
	})
	t.Run("and no others", func(t *testing.T) {
		r := begin(t)
		r.dropExpired(partialMessageTime - 1)
		if message, _, err := r.add(partialMessageTime, e, first[1]); err != nil || len(message) != 2*maxFragmentBytes {
			t.Errorf("expected the message, found %d bytes and error %v", len(message), err)
		}
	})
}
