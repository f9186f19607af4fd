package ring

// What tests outside the package write files with.
var (
	EncodeRecord   = encodeRecord
	EncodeSnapshot = encodeSnapshot
	FileName       = fileName
)
