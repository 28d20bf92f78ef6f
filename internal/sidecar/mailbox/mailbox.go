// Package mailbox is the message queue of an actor: any goroutine may put a message, and the one goroutine that runs the
// mailbox owns the actor's state. A mailbox neither bounds its length nor reports the result of a message; an actor that
// has to answer puts a message into the sender's mailbox.
package mailbox

import "sync"

// Mailbox is an unbounded first-in-first-out queue of messages, which are functions that the actor's goroutine calls. Put
// never blocks, so that two actors that send to one another cannot deadlock. The input of the process is bounded by the
// number of its connections. A Mailbox is safe for concurrent use, except that one goroutine at a time may call Run.
type Mailbox struct {
	mu     sync.Mutex
	ready  *sync.Cond // a message was put, or the mailbox closed
	queue  []func()
	closed bool
}

// New returns an empty mailbox.
func New() *Mailbox {
	b := &Mailbox{}
	b.ready = sync.NewCond(&b.mu)
	return b
}

// Put adds a message and reports whether it was accepted. A closed mailbox drops it.
func (b *Mailbox) Put(message func()) (accepted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.queue = append(b.queue, message)
	b.ready.Signal()
	return true
}

// Close makes Run return once it has called the messages that are in the mailbox.
func (b *Mailbox) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.ready.Signal()
}

// Run calls each message, in order, until the mailbox is closed and empty.
func (b *Mailbox) Run() {
	var batch []func()
	for {
		clear(batch) // so that what the messages refer to can be collected
		batch = b.take(batch[:0])
		if len(batch) == 0 {
			return
		}
		for _, message := range batch {
			message()
		}
	}
}

// take waits for messages and exchanges them for an empty slice. It returns none when the mailbox is closed and empty.
func (b *Mailbox) take(empty []func()) []func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.queue) == 0 && !b.closed {
		b.ready.Wait()
	}
	batch := b.queue
	b.queue = empty
	return batch
}

// Len returns the number of messages in the queue, without those that Run has taken.
func (b *Mailbox) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}
