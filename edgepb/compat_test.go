package edgepb_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/samphirebeam/samphirebeam/edgepb"
)

// breaks lists what a host of the older build would misread in messages of the newer one,
// or the other way round: a message, field or method that is gone, or a field whose number,
// type or cardinality has changed.
func breaks(older, newer protoreflect.FileDescriptor) (found []string) {
	for _, old := range all(older.Messages()) {
		now := newer.Messages().ByName(old.Name())
		if now == nil {
			found = append(found, fmt.Sprintf("message %s is gone", old.Name()))
			continue
		}
		for _, field := range all(old.Fields()) {
			switch same := now.Fields().ByNumber(field.Number()); {
			case same == nil:
				found = append(found, fmt.Sprintf("%s.%s is gone", old.Name(), field.Name()))
			case same.Name() != field.Name() || same.Kind() != field.Kind() || same.Cardinality() != field.Cardinality() || same.HasPresence() != field.HasPresence() || typeName(same) != typeName(field):
				found = append(found, fmt.Sprintf("%s.%s, number %d, is %s now", old.Name(), field.Name(), field.Number(), same))
			}
		}
	}
	for _, old := range all(older.Services()) {
		now := newer.Services().ByName(old.Name())
		for _, method := range all(old.Methods()) {
			if now == nil || now.Methods().ByName(method.Name()) == nil {
				found = append(found, fmt.Sprintf("method %s is gone", method.FullName()))
			}
		}
	}
	return found
}

// all returns the elements of a list of descriptors.
func all[D any](list interface {
	Len() int
	Get(int) D
},
) []D {
	elements := make([]D, list.Len())
	for i := range elements {
		elements[i] = list.Get(i)
	}
	return elements
}

func typeName(field protoreflect.FieldDescriptor) protoreflect.FullName {
	if field.Message() == nil {
		return ""
	}
	return field.Message().FullName()
}

// landedBuilds returns the protocol of each landed build, by its commit.
func landedBuilds(t *testing.T) map[string]*descriptorpb.FileDescriptorProto {
	paths, err := filepath.Glob("testdata/landed/*.binpb")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no landed builds: %v", err)
	}
	builds := map[string]*descriptorpb.FileDescriptorProto{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var set descriptorpb.FileDescriptorSet
		if err := proto.Unmarshal(data, &set); err != nil {
			t.Fatal(err)
		}
		at := slices.IndexFunc(set.File, func(f *descriptorpb.FileDescriptorProto) bool { return f.GetName() == "edge/v1/edge.proto" })
		if at < 0 {
			t.Fatalf("%s has no protocol between hosts", path)
		}
		builds[strings.TrimSuffix(filepath.Base(path), ".binpb")] = set.File[at]
	}
	return builds
}

func descriptor(t *testing.T, file *descriptorpb.FileDescriptorProto) protoreflect.FileDescriptor {
	d, err := protodesc.NewFile(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestProtocolIsReadByLandedBuilds guards against changes of the protocol that hosts of a
// landed build misread while hosts are replaced one by one.
func TestProtocolIsReadByLandedBuilds(t *testing.T) {
	for commit, file := range landedBuilds(t) {
		for _, finding := range breaks(descriptor(t, file), edgepb.File_edge_v1_edge_proto) {
			t.Errorf("beside %s: %s", commit, finding)
		}
	}
}

// TestBreakingChangesAreFound guards against a comparison that finds nothing.
func TestBreakingChangesAreFound(t *testing.T) {
	current := protodesc.ToFileDescriptorProto(edgepb.File_edge_v1_edge_proto)
	message := func(f *descriptorpb.FileDescriptorProto, name string) *descriptorpb.DescriptorProto {
		return f.MessageType[slices.IndexFunc(f.MessageType, func(m *descriptorpb.DescriptorProto) bool { return m.GetName() == name })]
	}
	for name, change := range map[string]func(*descriptorpb.FileDescriptorProto){
		"field removed": func(f *descriptorpb.FileDescriptorProto) {
			m := message(f, "RunRequest")
			m.Field = m.Field[1:]
		},
		"number reused": func(f *descriptorpb.FileDescriptorProto) {
			message(f, "RunRequest").Field[0].Name = proto.String("another")
		},
		"type changed": func(f *descriptorpb.FileDescriptorProto) {
			message(f, "RelayRequest").Field[0].Type = descriptorpb.FieldDescriptorProto_TYPE_STRING.Enum()
		},
		"now repeated": func(f *descriptorpb.FileDescriptorProto) {
			message(f, "PingReply").Field[0].Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
		},
		"method removed": func(f *descriptorpb.FileDescriptorProto) { f.Service[0].Method = f.Service[0].Method[1:] },
	} {
		changed := proto.Clone(current).(*descriptorpb.FileDescriptorProto)
		change(changed)
		if found := breaks(edgepb.File_edge_v1_edge_proto, descriptor(t, changed)); len(found) != 1 {
			t.Errorf("%s: found %q", name, found)
		}
	}
}
