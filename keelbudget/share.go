package keelbudget

import "syscall"

const (
	// memoryDivisor sets the part of a process's memory that clients may hold. The rest is
	// for the program and its state, and for garbage: the heap grows by its own size between
	// two collections.
	memoryDivisor = 5
	// Parts of the descriptors of a process, in percent: those for connections of clients,
	// and those for connections to endpoints. The rest is for other instances, operators and
	// files.
	clientPercent, endpointPercent = 40, 40
)

// DefaultMemory is the memory that a process may use if its settings name none, in bytes.
const DefaultMemory = 128 << 20

// Share is how a process divides what it may use.
type Share struct {
	// Bytes is the memory that clients may hold.
	Bytes int64
	// Clients and Endpoints limit the connections of clients and those to endpoints.
	Clients, Endpoints int
}

// Fits reports whether a single request that holds a number of bytes, which is not ordinary,
// finds room while nothing else is held.
func (s Share) Fits(held int64) bool { return held <= s.Bytes/largeDivisor*largeDividend }

// ShareOf divides the memory of a process, in bytes, and its descriptors. A memory of 0 means
// [DefaultMemory].
func ShareOf(memory int64, descriptors int) Share {
	if memory == 0 {
		memory = DefaultMemory
	}
	return Share{
		Bytes:   memory / memoryDivisor,
		Clients: descriptors * clientPercent / 100, Endpoints: descriptors * endpointPercent / 100,
	}
}

// Descriptors returns how many descriptors the operating system lets the process open.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}

// maxDescriptors is assumed if the operating system names no limit.
const maxDescriptors = 1 << 20
