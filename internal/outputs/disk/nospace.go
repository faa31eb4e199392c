package disk

import "syscall"

// errNoSpace is the system's word for a full disk.
var errNoSpace error = syscall.ENOSPC
